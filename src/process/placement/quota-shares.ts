/**
 * Shares of team quotas, lent to placers in advance, so that no placement decision has to ask another entry.
 *
 * @remarks Each team has one *lender*, which all entries find by rendezvous hashing over the members of the
 * ownership table. It lends the team's whole quota in numbered grants; each grant replaces the one before.
 *
 * Two one-way messages travel between entries, with the digests and only for teams with a quota and usage or
 * demand:
 * - Placer to lender: {@link ShareReport}, built by {@link ShareHolder.buildReport}.
 * - Lender to placer: {@link ShareGrant}, built by {@link ShareLender.grant}. After each, the placer passes
 *   {@link ShareHolder.listShares} to `PlacementCore.setTeamShares`.
 *
 * `term` is the revision of the ownership table by which the lender was chosen. A placer's first report in a
 * new term drops its grants of earlier terms, so a new lender knows the whole usage once all placers of the
 * table have reported; until then it lends only what is in use. A member that left the table is dropped
 * ({@link ShareLender.dropPlacer}) when the new owners of its workers are ready, since they then report what
 * runs there.
 *
 * Usage never exceeds the quota: a placer starts tasks only within its latest grant, and a report names that
 * grant and the usage at that time. Usage therefore stays within the maximum of the reported usage, that
 * grant and all later ones. The lender counts this maximum as lent, whatever the delay or order of messages.
 * A lost message leaves more counted as lent than is in use, never less.
 */
import {
    addResources,
    isWithin,
    NO_RESOURCES,
    removeResources,
    type Resources,
} from "../../common/resources.js";

/** Share of the quota lent beyond usage and demand, so that a small task starts without a message. */
const IDLE_SHARE = 0.005;
/** Maximum number of unconfirmed grants to one placer; at the limit the last one is sent again. */
const MAX_UNCONFIRMED_GRANTS = 16;

/** A placer's report to the lender of one team. */
export interface ShareReport {
    readonly team: string;
    readonly placerId: string;
    readonly term: number;
    /** Increases with each report of one placer; reports that arrive out of order are ignored. */
    readonly sequence: number;
    /** Resources that the placer's running and held tasks of the team use. */
    readonly use: Resources;
    /** Additional resources that its waiting tasks would use. */
    readonly demand: Resources;
    /** Number of the grant that the placer applies; 0 for none. */
    readonly grant: number;
}

/** A part of a quota, lent to one placer. */
export interface ShareGrant {
    readonly team: string;
    readonly placerId: string;
    readonly term: number;
    /** Increases with each grant of one term to one placer. */
    readonly number: number;
    readonly amount: Resources;
}

/** What is lent to one placer. */
interface Loan {
    sequence: number;
    /** Number of the last grant. */
    number: number;
    /** The grant that the placer last reported as applied, and all later ones. */
    unconfirmed: ShareGrant[];
    use: Resources;
    demand: Resources;
}

/** Lends the quota of one team. */
export class ShareLender {
    private readonly loans = new Map<string, Loan>();
    private readonly unreported: Set<string>;

    /**
     * @param quota - Maximum usage of the team in the whole cell.
     * @param placers - Members of the ownership table; only what is in use is lent until all have reported in
     * this term.
     */
    constructor(
        readonly team: string,
        readonly term: number,
        private quota: Resources,
        placers: Iterable<string>,
    ) {
        this.unreported = new Set(placers);
    }

    /** Applies a quota from the settings. A lower one prevents new starts; running tasks continue. */
    setQuota(quota: Resources): void {
        this.quota = quota;
    }

    /** Applies a report and returns a grant in reply; undefined for a report of another term. */
    grant(report: ShareReport): ShareGrant | undefined {
        if (report.term !== this.term) {
            return undefined;
        }
        this.unreported.delete(report.placerId);
        const loan = this.getLoan(report.placerId);
        if (report.sequence > loan.sequence) {
            loan.sequence = report.sequence;
            loan.use = report.use;
            loan.demand = report.demand;
            loan.unconfirmed = loan.unconfirmed.filter(grant => grant.number >= report.grant);
        }
        const last = loan.unconfirmed.at(-1);
        if (last !== undefined && loan.unconfirmed.length >= MAX_UNCONFIRMED_GRANTS) {
            return last;
        }
        const amount = this.unreported.size > 0 ? loan.use : this.computeAmount(report.placerId, loan);
        loan.number += 1;
        const { team, term } = this;
        const grant = { team, placerId: report.placerId, term, number: loan.number, amount };
        loan.unconfirmed.push(grant);
        return grant;
    }

    /** Forgets a placer whose workers other placers have taken over and reported. */
    dropPlacer(placerId: string): void {
        this.loans.delete(placerId);
        this.unreported.delete(placerId);
    }

    /** @returns Upper bound of what all placers together use. */
    sumLent(): Resources {
        let sum = NO_RESOURCES;
        for (const loan of this.loans.values()) {
            sum = addResources(sum, computeLent(loan));
        }
        return sum;
    }

    private computeAmount(placerId: string, loan: Loan): Resources {
        const others = removeResources(this.sumLent(), computeLent(loan));
        const available = computeMaximum(NO_RESOURCES, removeResources(this.quota, others));
        return computeMinimum(available, this.computeRequested(placerId, loan));
    }

    /**
     * Computes usage plus demand plus a spare; if others wait too, usage plus a share of the free quota by
     * demand.
     */
    private computeRequested(placerId: string, loan: Loan): Resources {
        let waiting = NO_RESOURCES;
        let used = NO_RESOURCES;
        for (const [id, other] of this.loans) {
            waiting = addResources(waiting, id === placerId ? NO_RESOURCES : other.demand);
            used = addResources(used, other.use);
        }
        const spare = computeShare(this.quota, IDLE_SHARE);
        if (isWithin(waiting, NO_RESOURCES)) {
            return addResources(addResources(loan.use, loan.demand), spare);
        }
        const free = computeMaximum(NO_RESOURCES, removeResources(this.quota, used));
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
            loan = { sequence: -1, number: 0, unconfirmed: [], use: NO_RESOURCES, demand: NO_RESOURCES };
            this.loans.set(placerId, loan);
        }
        return loan;
    }
}

/** Grants that one placer holds, by team. */
export class ShareHolder {
    private readonly grants = new Map<string, ShareGrant>();
    private readonly terms = new Map<string, number>();
    private sequence = 0;

    constructor(private readonly placerId: string) {}

    /**
     * Builds a report to a team's lender; the first report of a new term drops the grants of earlier terms.
     */
    buildReport(team: string, term: number, use: Resources, demand: Resources): ShareReport {
        if (term > (this.terms.get(team) ?? -1)) {
            this.terms.set(team, term);
            this.grants.delete(team);
        }
        this.sequence += 1;
        const grant = this.grants.get(team)?.number ?? 0;
        return { team, placerId: this.placerId, term, sequence: this.sequence, use, demand, grant };
    }

    /** Accepts a grant unless it belongs to another term or a later grant has already been accepted. */
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
    return loan.unconfirmed.reduce((lent, grant) => computeMaximum(lent, grant.amount), loan.use);
}

function computeShare(amount: Resources, share: number): Resources {
    return {
        cpuMillis: Math.floor(share * amount.cpuMillis),
        memoryMib: Math.floor(share * amount.memoryMib),
        accelerators: Math.floor(share * amount.accelerators),
    };
}

function computeMinimum(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: Math.min(left.cpuMillis, right.cpuMillis),
        memoryMib: Math.min(left.memoryMib, right.memoryMib),
        accelerators: Math.min(left.accelerators, right.accelerators),
    };
}

function computeMaximum(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: Math.max(left.cpuMillis, right.cpuMillis),
        memoryMib: Math.max(left.memoryMib, right.memoryMib),
        accelerators: Math.max(left.accelerators, right.accelerators),
    };
}
