/** Calls, notifications and digests between entries. */
export {
    createPeerHub,
    type HubListener,
    type OwnDigest,
    type OwnedPeerHub,
    type PeerHubOptions,
} from "./peer-hub.js";
