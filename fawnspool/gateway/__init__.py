"""The gateway process: reports events to the decision module and carries out its actions, deciding nothing itself."""
