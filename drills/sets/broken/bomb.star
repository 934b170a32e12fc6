def on_send(q):
    x = ["y" * 1000]
    while True:
        x = x + x
