/** Stand-in for the platform's VM list: serves a {@link VmListModel} on loopback. */
import type { Clock, Millis } from "../common/clock.js";
import { HttpStatus } from "../process/platform/json-answer.js";
import { buildJsonReply, startHttpStandIn } from "./http-stand-in.js";
import type { RunningStandIn, StandInAddress } from "./http-stand-in.js";
import { VmListModel } from "./vm-list-model.js";

/** Address, clock and content of a stand-in VM list. */
export interface VmListStandInOptions extends StandInAddress {
    readonly clock: Clock;
    /** Time from a change until readers see it; 0 if omitted. Not used if a model is given. */
    readonly lagMs?: Millis;
    /** Defaults to an empty list. */
    readonly model?: VmListModel;
}

/** A running stand-in VM list. */
export interface RunningVmListStandIn extends RunningStandIn {
    readonly model: VmListModel;
}

/** Starts a stand-in VM list. */
export async function startVmListStandIn(options: VmListStandInOptions): Promise<RunningVmListStandIn> {
    const model = options.model ?? new VmListModel(options.clock, options.lagMs);
    const running = await startHttpStandIn([
        {
            method: "GET",
            path: "/v1/vms",
            handle: () => buildJsonReply(HttpStatus.done, { value: model.list() }),
        },
    ], options);
    return { ...running, model };
}
