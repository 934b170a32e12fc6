# Refuses bookings for clinics that are closed. The query's text names the clinic:
# "clinic=7;...".

CLOSED = {
    "7": "renovation until Sunday",
    "12": "no staff today",
}

def on_taken(q):
    _, _, rest = q.text.partition("clinic=")
    clinic = rest.partition(";")[0]
    if clinic in CLOSED:
        return {"refuse": "clinic %s is closed: %s" % (clinic, CLOSED[clinic]), "retry_after_ms": 2000}
