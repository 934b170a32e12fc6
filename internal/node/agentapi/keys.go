package agentapi

const (
	EjectionsKey = "g" // the key of the council's last word among the news
)

// charterAt is the key of the configuration among the news.
const ConfigurationKey = "c"
