package relay

// Points between two steps at which something else may happen.
const (
	failpointClientsReleased  = "clients are let go"
	failpointListenersClosing = "nobody new is let in"
	failpointProcessEnd       = "the process ends"
	failpointAddressInUse     = "the address is in use"

	// Of a hand-over, the side that serves.
	failpointOutgoingRequested        = "give: asked"
	failpointOutgoingRequestsAnswered = "give: requests are answered"
	failpointOutgoingQuiesced         = "give: all is at rest"
	failpointOutgoingStateSent        = "give: the state is sent"
	failpointOutgoingListenersSent    = "give: the listeners are sent"
	failpointOutgoingClientsSent      = "give: the clients are sent"
	failpointOutgoingCallsSent        = "give: the calls are sent"
	failpointOutgoingLockSent         = "give: the lock is sent"
	failpointOutgoingAllSent          = "give: all is sent"
	failpointOutgoingClaimed          = "give: it is the other's"
	failpointOutgoingReleased         = "give: let go"
	// And the side that starts.
	failpointIncomingConnected      = "take: linked"
	failpointIncomingListReceived   = "take: the list is heard"
	failpointIncomingAllReceived    = "take: all has come"
	failpointIncomingLockAdopted    = "take: the lock is held"
	failpointIncomingClaimSent      = "take: said mine"
	failpointIncomingRecovered      = "take: taken up"
	failpointIncomingClientsAdopted = "take: clients are adopted"
	failpointIncomingServing        = "take: serves"
)

// failpoint is called at such a point. Tests alone set it, before a relay runs.
var failpoint func(point string)

func hitFailpoint(point string) {
	if failpoint != nil {
		failpoint(point)
	}
}
