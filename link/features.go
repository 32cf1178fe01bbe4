package link

import (
	"net/http"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// featuresHeader names the features of a build, in the request that opens a
// connection and in the response. Older builds send no such header.
const featuresHeader = "Kingcupknot-Features"

func ownFeatures() http.Header {
	return http.Header{featuresHeader: {wire.OwnFeatures().String()}}
}

// setFeatures records the features that a peer named when it connected or was
// connected to.
func (h *Hub) setFeatures(vm catalog.VMID, header http.Header) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.features[vm] = wire.ParseFeatures(header.Get(featuresHeader))
}

// featuresOf returns the features of a peer, none until it has connected.
func (h *Hub) featuresOf(vm catalog.VMID) wire.Features {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.features[vm]
}
