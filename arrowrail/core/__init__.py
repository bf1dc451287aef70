"""Call handling between frontends, the decision module and backends, independent of the protocols."""
