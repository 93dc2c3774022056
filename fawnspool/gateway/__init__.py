"""The running head: tells the decision module what happens and carries out what it decides. It never chooses."""
