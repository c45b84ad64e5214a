/**
 * Shares of team quotas, lent to placers in advance and returned, so that no decision asks another entry.
 *
 * @remarks One *lender* for each team, the same at every entry by rendezvous hashing over the members of the
 * ownership table, lends the team's whole quota in numbered grants; each replaces the one before.
 *
 * Wiring, two notes between entries, sent with the digests and only for teams with a quota and use or demand:
 * - Placer to lender: {@link ShareReport}, made by {@link ShareHolder.buildReport}.
 * - Lender to placer: {@link ShareGrant}, made by {@link ShareLender.grant}. The placer gives
 *   {@link ShareHolder.listShares} to `PlacementCore.setTeamShares` after each.
 * - `term` is the revision of the ownership table that made the sender lender. A placer's first report in a new
 *   term drops its grants of earlier ones, so a new lender knows the whole use once all placers of the table
 *   have reported; until then it lends nothing beyond what runs.
 * - A member that left the table is dropped ({@link ShareLender.dropPlacer}) when the new owners of its workers
 *   are ready: from then on they report what runs there.
 *
 * Why the sum never exceeds the quota: a placer starts tasks only within its highest grant, and a report names
 * that grant and the use at that time. So its use stays within the larger of the reported use, that grant and
 * all later ones, and the lender counts all of that as lent, however long or in which order messages travel.
 * A lost message leaves more counted as lent than is used, never less.
 */
import {
    addResources,
    isWithin,
    NO_RESOURCES,
    removeResources,
    type Resources,
} from "../../common/resources.js";

/** Share of the quota that a placer without demand is lent, so that a small task starts without a message. */
const SPARE_SHARE = 0.005;
/** Grants that a placer has not confirmed; beyond it the last one is sent again. */
const MAX_OPEN = 16;

/** What a placer tells the lender of one team. */
export interface ShareReport {
    readonly team: string;
    readonly placerId: string;
    readonly term: number;
    /** Rises with each report of one placer; lower ones are ignored. */
    readonly sequence: number;
    /** What its running tasks and holds use. */
    readonly use: Resources;
    /** What its waiting tasks would use besides. */
    readonly demand: Resources;
    /** Number of the grant that it acts by; 0 for none. */
    readonly grant: number;
}

/** A part of a quota, lent to one placer. */
export interface ShareGrant {
    readonly team: string;
    readonly placerId: string;
    readonly term: number;
    /** Rises with each grant of one term to one placer. */
    readonly number: number;
    readonly amount: Resources;
}

/** What one placer may be using. */
interface Loan {
    sequence: number;
    /** Number of the last grant. */
    number: number;
    /** The grant that the placer acts by and all later ones. */
    open: ShareGrant[];
    use: Resources;
    demand: Resources;
}

/** Lends the quota of one team. */
export class ShareLender {
    private readonly loans = new Map<string, Loan>();
    private readonly awaited: Set<string>;

    /**
     * @param quota - Most that the team may use over the whole cell.
     * @param placers - Members of the table; nothing is lent until all have reported in this term.
     */
    constructor(
        readonly team: string,
        readonly term: number,
        private quota: Resources,
        placers: Iterable<string>,
    ) {
        this.awaited = new Set(placers);
    }

    /** Takes over a quota from the settings. A lower one stops new starts; what runs goes on. */
    setQuota(quota: Resources): void {
        this.quota = quota;
    }

    /** Takes a report and answers with a grant; undefined for a report of another term. */
    grant(report: ShareReport): ShareGrant | undefined {
        if (report.term !== this.term) {
            return undefined;
        }
        this.awaited.delete(report.placerId);
        const loan = this.getLoan(report.placerId);
        if (report.sequence > loan.sequence) {
            loan.sequence = report.sequence;
            loan.use = report.use;
            loan.demand = report.demand;
            loan.open = loan.open.filter(grant => grant.number >= report.grant);
        }
        const last = loan.open.at(-1);
        if (last !== undefined && loan.open.length >= MAX_OPEN) {
            return last;
        }
        const amount = this.awaited.size > 0 ? loan.use : this.computeAmount(report.placerId, loan);
        loan.number += 1;
        const { team, term } = this;
        const grant = { team, placerId: report.placerId, term, number: loan.number, amount };
        loan.open.push(grant);
        return grant;
    }

    /** Forgets a placer whose workers others have taken over and reported. */
    dropPlacer(placerId: string): void {
        this.loans.delete(placerId);
        this.awaited.delete(placerId);
    }

    /** @returns What all placers together may be using. */
    sumLent(): Resources {
        let sum = NO_RESOURCES;
        for (const loan of this.loans.values()) {
            sum = addResources(sum, computeLent(loan));
        }
        return sum;
    }

    private computeAmount(placerId: string, loan: Loan): Resources {
        const others = removeResources(this.sumLent(), computeLent(loan));
        const left = computeMost(NO_RESOURCES, removeResources(this.quota, others));
        return computeLeast(left, this.computeWish(placerId, loan));
    }

    /** A placer gets what it asks for, unless others wait too: then its part of what is free, by demand. */
    private computeWish(placerId: string, loan: Loan): Resources {
        let waiting = NO_RESOURCES;
        let used = NO_RESOURCES;
        for (const [id, other] of this.loans) {
            waiting = addResources(waiting, id === placerId ? NO_RESOURCES : other.demand);
            used = addResources(used, other.use);
        }
        const spare = computeShare(this.quota, SPARE_SHARE);
        if (isWithin(waiting, NO_RESOURCES)) {
            return addResources(addResources(loan.use, loan.demand), spare);
        }
        const free = computeMost(NO_RESOURCES, removeResources(this.quota, used));
        const computeDimension = (dimension: keyof Resources) => {
            const all = waiting[dimension] + loan.demand[dimension];
            const part = all > 0 ? Math.floor(free[dimension] * loan.demand[dimension] / all) : 0;
            return loan.use[dimension] + Math.min(loan.demand[dimension], part);
        };
        return {
            cpuMillis: computeDimension("cpuMillis"),
            memoryMib: computeDimension("memoryMib"),
            accelerators: computeDimension("accelerators"),
        };
    }

    private getLoan(placerId: string): Loan {
        let loan = this.loans.get(placerId);
        if (loan === undefined) {
            loan = { sequence: -1, number: 0, open: [], use: NO_RESOURCES, demand: NO_RESOURCES };
            this.loans.set(placerId, loan);
        }
        return loan;
    }
}

/** Keeps the grants of one placer. */
export class ShareHolder {
    private readonly grants = new Map<string, ShareGrant>();
    private readonly terms = new Map<string, number>();
    private sequence = 0;

    constructor(private readonly placerId: string) {}

    /** Builds the report for a team's lender; the first one in a new term drops the grants of earlier terms. */
    buildReport(team: string, term: number, use: Resources, demand: Resources): ShareReport {
        if (term > (this.terms.get(team) ?? -1)) {
            this.terms.set(team, term);
            this.grants.delete(team);
        }
        this.sequence += 1;
        const grant = this.grants.get(team)?.number ?? 0;
        return { team, placerId: this.placerId, term, sequence: this.sequence, use, demand, grant };
    }

    /** Takes over a grant unless a later one, or a later term, came before it. */
    accept(grant: ShareGrant): void {
        const known = this.grants.get(grant.team)?.number ?? 0;
        if (grant.term === this.terms.get(grant.team) && grant.number > known) {
            this.grants.set(grant.team, grant);
        }
    }

    /** @returns Shares for `PlacementCore.setTeamShares`. */
    listShares(): ReadonlyMap<string, Resources> {
        return new Map([...this.grants].map(([team, grant]) => [team, grant.amount]));
    }
}

function computeLent(loan: Loan): Resources {
    return loan.open.reduce((lent, grant) => computeMost(lent, grant.amount), loan.use);
}

function computeShare(amount: Resources, share: number): Resources {
    return {
        cpuMillis: Math.floor(share * amount.cpuMillis),
        memoryMib: Math.floor(share * amount.memoryMib),
        accelerators: Math.floor(share * amount.accelerators),
    };
}

function computeLeast(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: Math.min(left.cpuMillis, right.cpuMillis),
        memoryMib: Math.min(left.memoryMib, right.memoryMib),
        accelerators: Math.min(left.accelerators, right.accelerators),
    };
}

function computeMost(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: Math.max(left.cpuMillis, right.cpuMillis),
        memoryMib: Math.max(left.memoryMib, right.memoryMib),
        accelerators: Math.max(left.accelerators, right.accelerators),
    };
}
