def on_answered(q):
    if random() < 0.1:
        fail("after the part has run")
