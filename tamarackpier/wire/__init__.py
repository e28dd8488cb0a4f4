"""Messages between the project's own processes, generated from peer.proto."""
