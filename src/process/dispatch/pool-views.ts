/** The views of all pools in one pass. */
import type { PlanInput } from "./plan.js";
import { PoolView } from "./pool-view.js";

/** Creates the view of each pool when it is first needed. */
export class PoolViews {
    private readonly views = new Map<string, PoolView>();

    constructor(private readonly input: Pick<PlanInput, "workersByPool" | "unreportedByPool" | "now">) {}

    /** Returns the view of a pool; one without workers if there is no such pool. */
    get(name: string): PoolView {
        const known = this.views.get(name);
        if (known !== undefined) {
            return known;
        }
        const { workersByPool, unreportedByPool, now } = this.input;
        const created = new PoolView(
            name,
            workersByPool.get(name) ?? [],
            unreportedByPool.get(name) ?? [],
            now,
        );
        this.views.set(name, created);
        return created;
    }
}
