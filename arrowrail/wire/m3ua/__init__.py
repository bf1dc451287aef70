"""M3UA-style signalling: M3UA and ISUP messages, one association, the front and the back."""
