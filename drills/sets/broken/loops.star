def on_taken(q):
    while True:
        pass
