"""Files that outlive their process: records with checksums, synced before anybody is answered."""
