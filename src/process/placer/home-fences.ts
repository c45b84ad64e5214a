/**
 * Decides which homes may still order work at this placer, so that no task runs twice when a paused or
 * disconnected home resumes and sends queued orders after another entry took over its slice.
 *
 * @remarks A new home starts nothing before each placer has answered its census, and from that answer on the
 * placer refuses lower epochs. A placer that acquires a worker slice later has an ownership table at least as
 * new.
 */
import type { HomeFence } from "../../connection/messages.js";
import type { OwnershipView } from "../roles.js";

/** Maximum number of orders remembered per home; beyond it the floor is raised above the oldest ones. */
const MAX_REMEMBERED_ORDERS = 50_000;

interface HomeState {
    epoch: number;
    floor: number;
    /** Admitted attempts with the sequence number of their order, oldest first. */
    readonly admitted: Map<string, number>;
}

/** Tracks the highest epoch and the sequence floor of each home seen by one placer. */
export class HomeFences {
    private readonly homes = new Map<number, HomeState>();

    constructor(private readonly ownership: Pick<OwnershipView, "getHomeSliceOwner">) {}

    /** Whether the fence's epoch is current and its sequence number is not below the floor. */
    isAdmissible(fence: HomeFence): boolean {
        const tableEpoch = this.ownership.getHomeSliceOwner(fence.homeSlice)?.epoch ?? 0;
        const home = this.homes.get(fence.homeSlice);
        if (fence.epoch < Math.max(tableEpoch, home?.epoch ?? 0)) {
            return false;
        }
        return home === undefined || fence.epoch > home.epoch || fence.sequence >= home.floor;
    }

    /**
     * Admits each attempt once. A home resends an order that it has received no update about, and by then the
     * first copy may be running on a worker that now belongs to another placer.
     * @param attempt - Id of the attempt.
     * @returns Whether the attempt is new and its home is not outdated.
     */
    admit(fence: HomeFence, attempt: string): boolean {
        if (!this.isAdmissible(fence)) {
            return false;
        }
        const home = this.homes.get(fence.homeSlice);
        const current = home?.epoch === fence.epoch ?
            home :
            { epoch: fence.epoch, floor: 0, admitted: new Map<string, number>() };
        this.homes.set(fence.homeSlice, current);
        if (current.admitted.has(attempt)) {
            return false;
        }
        current.admitted.set(attempt, fence.sequence);
        if (current.admitted.size > MAX_REMEMBERED_ORDERS) {
            this.forgetOldest(current);
        }
        return true;
    }

    /**
     * Applies a home's census: from now on, lower epochs and, within this epoch, lower sequence numbers are
     * refused.
     * @returns False if the home that sent the census is itself outdated.
     */
    raiseFloor(homeSlice: number, epoch: number, floor: number): boolean {
        const tableEpoch = this.ownership.getHomeSliceOwner(homeSlice)?.epoch ?? 0;
        const home = this.homes.get(homeSlice);
        if (epoch < Math.max(tableEpoch, home?.epoch ?? 0)) {
            return false;
        }
        if (home?.epoch === epoch) {
            home.floor = Math.max(floor, home.floor);
        }
        else {
            this.homes.set(homeSlice, { epoch, floor, admitted: new Map() });
        }
        return true;
    }

    private forgetOldest(home: HomeState): void {
        for (const [attempt, sequence] of home.admitted) {
            if (home.admitted.size <= MAX_REMEMBERED_ORDERS / 2) {
                break;
            }
            home.admitted.delete(attempt);
            home.floor = Math.max(home.floor, sequence + 1);
        }
    }
}
