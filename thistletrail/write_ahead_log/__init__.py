"""Write-ahead log: files of checksummed records, synced before the request behind them is answered."""
