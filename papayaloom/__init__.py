"""Router fleet for returning chats, in front of model engines and services."""
