"""View of the engines and replicas, and the planning of replicas."""
