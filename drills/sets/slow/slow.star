# Well but for one call in a hundred, which never ends.
def on_taken(q):
    if random() < 0.01:
        while True:
            pass
    return {"tags": {"governorate": "zarqa"}}
