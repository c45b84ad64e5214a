/** What each team uses at this placer, how much it may use, and its weighted dominant share. */
import { NO_RESOURCES, type Resources } from "../../common/resources.js";
import type { TeamSettings } from "../../version/settings.js";
import type { Line } from "./line.js";

/** Use and limit of one team. */
export class TeamAccount {
    usedCpu = 0;
    usedMemory = 0;
    usedAccelerators = 0;
    weight = 1;
    /** Most it may use here; undefined for no limit. */
    limit: Resources | undefined;
    /** Lines with waiting tasks. */
    readonly lines = new Set<Line>();
    /** Lines left out of the order because the team is at its limit. */
    readonly parked = new Set<Line>();

    constructor(readonly team: string, private readonly book: TeamBook) {}

    /** @returns The largest share of any resource that it uses, over its weight. */
    getDominantShare(): number {
        const { total } = this.book;
        const share = Math.max(
            computeShare(this.usedCpu, total.cpuMillis),
            computeShare(this.usedMemory, total.memoryMib),
            computeShare(this.usedAccelerators, total.accelerators),
        );
        return share / this.weight;
    }

    /** @returns Whether the need stays within the team's limit. */
    mayUse(need: Resources): boolean {
        const { limit } = this;
        return limit === undefined ||
            this.usedCpu + need.cpuMillis <= limit.cpuMillis &&
                this.usedMemory + need.memoryMib <= limit.memoryMib &&
                this.usedAccelerators + need.accelerators <= limit.accelerators;
    }

    /** Counts resources as used by the team. */
    use(need: Resources): void {
        this.usedCpu += need.cpuMillis;
        this.usedMemory += need.memoryMib;
        this.usedAccelerators += need.accelerators;
    }

    /** Gives resources back; the team's lines rise in the order, and parked ones come back. */
    release(need: Resources): void {
        this.usedCpu -= need.cpuMillis;
        this.usedMemory -= need.memoryMib;
        this.usedAccelerators -= need.accelerators;
        this.refreshLines();
    }

    /** Puts all waiting lines back into the order at their present rank. */
    refreshLines(): void {
        this.parked.clear();
        for (const line of this.lines) {
            line.queue.refresh(line);
        }
    }

    /** @returns What it uses here. */
    getUse(): Resources {
        return {
            cpuMillis: this.usedCpu,
            memoryMib: this.usedMemory,
            accelerators: this.usedAccelerators,
        };
    }
}

/** All teams of one placer. */
export class TeamBook {
    /** Capacity of all workers, against which shares are taken. */
    total: Resources = NO_RESOURCES;
    private readonly accounts = new Map<string, TeamAccount>();
    private shares: ReadonlyMap<string, Resources> = new Map();
    private settings: ReadonlyMap<string, TeamSettings> = new Map();

    /** @returns The account of a team, made at its first use. */
    get(team: string): TeamAccount {
        let account = this.accounts.get(team);
        if (account === undefined) {
            account = new TeamAccount(team, this);
            this.accounts.set(team, account);
            this.applyLimits(account);
        }
        return account;
    }

    /** Takes over weights from the settings. */
    setSettings(settings: ReadonlyMap<string, TeamSettings>): void {
        this.settings = settings;
        this.refresh();
    }

    /** Takes over lent shares. */
    setShares(shares: ReadonlyMap<string, Resources>): void {
        this.shares = shares;
        this.refresh();
    }

    /** @returns Use by team, without the teams that use nothing. */
    listUse(): Record<string, Resources> {
        const use: Record<string, Resources> = {};
        for (const account of this.accounts.values()) {
            if (account.usedCpu > 0 || account.usedMemory > 0 || account.usedAccelerators > 0) {
                use[account.team] = account.getUse();
            }
        }
        return use;
    }

    private refresh(): void {
        for (const account of this.accounts.values()) {
            this.applyLimits(account);
            account.refreshLines();
        }
    }

    /**
     * With shares set, a team that has a quota and is left out may use nothing. Without any share, and for teams
     * without a quota, there is no limit.
     */
    private applyLimits(account: TeamAccount): void {
        const settings = this.settings.get(account.team);
        account.weight = Math.max(settings?.weight ?? 1, MIN_WEIGHT);
        const share = this.shares.get(account.team);
        const isLimited = this.shares.size > 0 && settings?.quota !== undefined;
        account.limit = share ?? (isLimited ? NO_RESOURCES : undefined);
    }
}

/** Weight below which a team's weight does not count, so that no share is divided by zero. */
const MIN_WEIGHT = 0.001;

function computeShare(used: number, total: number): number {
    return total > 0 ? used / total : 0;
}
