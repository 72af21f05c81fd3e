"""The agent where entries call endpoints directly."""
