/** Example of docs/ADDING-A-POLICY.md: strictly first come, on the emptiest worker. */
import { CapacityKind, type Policy } from "../../../process/placement/index.js";

/** First come, first served. */
export const firstComePolicy: Policy = {
    kinds: ["batch"],
    capacity: CapacityKind.room,
    getLineKey: item => item.team,
    computeRank: line => line.getHeadQueuedAt(),
    computeCost: (_item, place) => -place.freeCpu / place.view.capacity.cpuMillis,
};
