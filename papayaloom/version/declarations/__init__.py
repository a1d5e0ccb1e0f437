"""Setting declarations, one module per component that reads them."""
