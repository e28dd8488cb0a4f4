"""The entry instance process: I/O around the pure decision modules."""
