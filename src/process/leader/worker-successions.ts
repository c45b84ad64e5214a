/** Workers that start again under their name while a leader is in office. */
import type { Millis } from "../../common/clock.js";
import { EPOCH_STRIDE } from "../leadership/leader-record.js";
import { parseIncarnationId } from "../ports/incarnation.js";
import type { LeaderContext } from "./context.js";
import type { FleetMember } from "./fleet.js";

/** Starts of one worker within this time count as flapping. */
const FLAP_WINDOW_MS: Millis = 30_000;
/** Pause of a worker that has started a second time; it doubles with each further start. */
const FIRST_PAUSE_MS: Millis = 1_000;
const MAX_PAUSE_MS: Millis = 8_000;

/** The incarnations of one worker that this leader has had sessions with. */
interface Succession {
    /** Ids in the order in which their sessions began. */
    readonly workerIds: string[];
    readonly beganAt: Millis[];
}

/**
 * Tells the incarnations of each worker apart.
 *
 * @remarks A worker cannot tell a late order to an earlier incarnation from one to itself. Each incarnation
 * therefore gets a higher fencing epoch than the one before; the next leader's epoch is above all of them.
 */
export class WorkerSuccessions {
    private readonly successions = new Map<string, Succession>();

    /** @param members - The fleet's workers by id; the fleet goes on changing this map. */
    constructor(
        private readonly context: Pick<LeaderContext, "clock" | "log" | "epoch">,
        private readonly members: ReadonlyMap<string, FleetMember>,
    ) {}

    /**
     * Records that a session with an incarnation begins.
     * @returns Epoch that its orders carry; undefined if none is left that belongs to this leader.
     */
    addIncarnation(workerId: string): number | undefined {
        const { name } = parseIncarnationId(workerId);
        const succession = this.successions.get(name) ?? { workerIds: [], beganAt: [] };
        this.successions.set(name, succession);
        // A worker that was not listed for some time gets another session.
        const known = succession.workerIds.indexOf(workerId);
        if (known >= 0) {
            return this.context.epoch + known;
        }
        if (succession.workerIds.length >= EPOCH_STRIDE) {
            this.context.log.error("CR1646", "workerStartsTooOften", { workerId });
            return undefined;
        }
        succession.workerIds.push(workerId);
        succession.beganAt.push(this.context.clock.now());
        return this.context.epoch + succession.workerIds.length - 1;
    }

    /** Computes how long a new incarnation gets no work, as its worker has started several times recently. */
    computePause(workerId: string): Millis {
        const now = this.context.clock.now();
        const beganAt = this.findSuccession(workerId)?.beganAt ?? [];
        const restarts = beganAt.filter(at => now - at < FLAP_WINDOW_MS).length - 1;
        return restarts < 2 ? 0 : Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (restarts - 2));
    }

    /** Lists the members that are earlier incarnations of the same worker. */
    listPredecessors(workerId: string): readonly FleetMember[] {
        const ids = this.findSuccession(workerId)?.workerIds ?? [];
        return ids.slice(0, Math.max(0, ids.lastIndexOf(workerId)))
            .flatMap(id => id === workerId ? [] : this.members.get(id) ?? []);
    }

    /** Whether a later incarnation of the same worker is a member. */
    hasSuccessor(workerId: string): boolean {
        const ids = this.findSuccession(workerId)?.workerIds ?? [];
        return ids.slice(ids.lastIndexOf(workerId) + 1).some(id => this.members.has(id));
    }

    private findSuccession(workerId: string): Succession | undefined {
        return this.successions.get(parseIncarnationId(workerId).name);
    }
}
