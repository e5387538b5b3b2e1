"""Programs that measure figspread and inject faults, and shared test fakes."""
