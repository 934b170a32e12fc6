def on_taken(q):
    return {"tags": {"governorate": "irbid"}}
