# Tags a query with the governorate that its text names: "gov=amman;...".

def on_taken(q):
    _, found, rest = q.text.partition("gov=")
    name = rest.partition(";")[0] if found else "unknown"
    return {"tags": {"governorate": name}, "notes": {"governorate": name}}
