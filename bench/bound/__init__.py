"""What a day of heavy load could be worth at best, by an offline model."""
