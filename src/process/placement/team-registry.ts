/** Resource usage, limit and weighted dominant share of each team at this placer. */
import { NO_RESOURCES, type Resources } from "../../common/resources.js";
import type { TeamSettings } from "../../version/settings.js";
import type { Flow } from "./flow.js";

/** Resource usage and limit of one team. */
export class TeamUsage {
    usedCpu = 0;
    usedMemory = 0;
    usedAccelerators = 0;
    weight = 1;
    /** Maximum that the team may use at this placer; undefined for no limit. */
    limit: Resources | undefined;
    /** Flows with waiting tasks. */
    readonly flows = new Set<Flow>();
    /** Flows left out of the scheduling order because the team is at its limit. */
    readonly parkedFlows = new Set<Flow>();

    constructor(readonly team: string, private readonly registry: TeamRegistry) {}

    /** @returns The largest share of any resource that the team uses, divided by its weight. */
    getDominantShare(): number {
        const { total } = this.registry;
        const share = Math.max(
            computeShare(this.usedCpu, total.cpuMillis),
            computeShare(this.usedMemory, total.memoryMib),
            computeShare(this.usedAccelerators, total.accelerators),
        );
        return share / this.weight;
    }

    /** @returns Whether the demand, added to the current usage, stays within the team's limit. */
    mayUse(demand: Resources): boolean {
        const { limit } = this;
        return limit === undefined ||
            this.usedCpu + demand.cpuMillis <= limit.cpuMillis &&
                this.usedMemory + demand.memoryMib <= limit.memoryMib &&
                this.usedAccelerators + demand.accelerators <= limit.accelerators;
    }

    /** Counts resources as used by the team. */
    use(demand: Resources): void {
        this.usedCpu += demand.cpuMillis;
        this.usedMemory += demand.memoryMib;
        this.usedAccelerators += demand.accelerators;
    }

    /**
     * Releases resources and re-ranks the team's flows, as its share fell; parked flows become eligible
     * again.
     */
    release(demand: Resources): void {
        this.usedCpu -= demand.cpuMillis;
        this.usedMemory -= demand.memoryMib;
        this.usedAccelerators -= demand.accelerators;
        this.refreshFlows();
    }

    /** Puts all flows with waiting tasks back into the scheduling order at their current rank. */
    refreshFlows(): void {
        this.parkedFlows.clear();
        for (const flow of this.flows) {
            flow.queue.refresh(flow);
        }
    }

    /** @returns Resources that the team uses at this placer. */
    getUse(): Resources {
        return {
            cpuMillis: this.usedCpu,
            memoryMib: this.usedMemory,
            accelerators: this.usedAccelerators,
        };
    }
}

/** Usage of all teams at one placer. */
export class TeamRegistry {
    /** Capacity of all workers, the base of the dominant shares. */
    total: Resources = NO_RESOURCES;
    private readonly usages = new Map<string, TeamUsage>();
    private shares: ReadonlyMap<string, Resources> = new Map();
    private settings: ReadonlyMap<string, TeamSettings> = new Map();

    /** @returns Usage of a team, created on first access. */
    get(team: string): TeamUsage {
        let usage = this.usages.get(team);
        if (usage === undefined) {
            usage = new TeamUsage(team, this);
            this.usages.set(team, usage);
            this.applyLimits(usage);
        }
        return usage;
    }

    /** Applies weights and quotas from the settings. */
    setSettings(settings: ReadonlyMap<string, TeamSettings>): void {
        this.settings = settings;
        this.refresh();
    }

    /** Applies the quota shares lent to this placer, by team. */
    setShares(shares: ReadonlyMap<string, Resources>): void {
        this.shares = shares;
        this.refresh();
    }

    /** @returns Usage by team; teams that use nothing are left out. */
    listUse(): Record<string, Resources> {
        const use: Record<string, Resources> = {};
        for (const usage of this.usages.values()) {
            if (usage.usedCpu > 0 || usage.usedMemory > 0 || usage.usedAccelerators > 0) {
                use[usage.team] = usage.getUse();
            }
        }
        return use;
    }

    private refresh(): void {
        for (const usage of this.usages.values()) {
            this.applyLimits(usage);
            usage.refreshFlows();
        }
    }

    /**
     * Sets weight and limit of a team. Once any share is set, a team that has a quota but no share may use
     * nothing. Without any share, and for teams without a quota, there is no limit.
     */
    private applyLimits(usage: TeamUsage): void {
        const settings = this.settings.get(usage.team);
        usage.weight = Math.max(settings?.weight ?? 1, MIN_WEIGHT);
        const share = this.shares.get(usage.team);
        const isLimited = this.shares.size > 0 && settings?.quota !== undefined;
        usage.limit = share ?? (isLimited ? NO_RESOURCES : undefined);
    }
}

/** Lower bound of a team's weight, so that no share is divided by zero. */
const MIN_WEIGHT = 0.001;

function computeShare(used: number, total: number): number {
    return total > 0 ? used / total : 0;
}
