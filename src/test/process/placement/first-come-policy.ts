/** Example of docs/ADDING-A-POLICY.md: strictly first come, on the emptiest worker. */
import { CapacityKind, type Policy } from "../../../process/placement/index.js";

/** First come, first served. */
export const firstComePolicy: Policy = {
    kinds: ["batch"],
    capacity: CapacityKind.room,
    getFlowKey: item => item.team,
    computeRank: flow => flow.getHeadQueuedAt(),
    computeCost: (_item, candidate) => -candidate.freeCpu / candidate.view.capacity.cpuMillis,
};
