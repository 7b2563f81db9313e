"""Write-ahead log: files of checksummed records, synced to disk before a request is answered."""
