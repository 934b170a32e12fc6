# Another type on each call.
def on_admission(q):
    kinds = [7, 1.5, "text", [1], (2,), {"refuse": 7}, {"drop": "all"}, {"tags": ["a"]}, {1: 2}, {"hits": []}, {"left_ms": "soon"}, True]
    return kinds[int(random() * len(kinds))]
