"""M3UA-style signalling: M3UA and ISUP messages, the association, the frontend and the backend."""
