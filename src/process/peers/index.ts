/** Calls, notes and digests between entries. */
export { createPeerHub, type HubListener, type OwnedPeerHub, type PeerHubOptions } from "./peer-hub.js";
