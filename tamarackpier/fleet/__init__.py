"""What is known of engines and replicas, and the forming of replicas."""
