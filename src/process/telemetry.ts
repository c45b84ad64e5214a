/** Interfaces of the logs and metrics for the roles; `src/process/sinks/` implements them. */

/** A value in a log line. */
export type LogValue =
    | string
    | number
    | boolean
    | undefined
    | readonly string[]
    | Readonly<Record<string, unknown>>;

/** Fields of a routing or placement decision; docs/LOGS.md lists them. */
export interface DecisionRecord {
    /** `route` at the gateway, `place` at a placer, `preempt`, `shed`, `retry`, `eject`, `shadow`. */
    readonly decision: string;
    /** Request id, task attempt or job id. */
    readonly subject: string;
    readonly branch: string;
    /** Settings version under which the decision was made. */
    readonly treeVersion: number;
    /** Chosen worker or member; undefined when none was chosen. */
    readonly chosen?: string;
    readonly reason: string;
    readonly runnersUp?: readonly string[];
    /** Duration of the decision in microseconds. */
    readonly tookUs?: number;
}

/** Structured log of an entry. */
export interface Log {
    decide(record: DecisionRecord): void;
    debug(event: string, fields?: Readonly<Record<string, LogValue>>): void;
    info(event: string, fields?: Readonly<Record<string, LogValue>>): void;
    /** @param code - A stable code such as `CR1203`, listed in docs/WARNINGS.md with its remedy. */
    warn(code: string, event: string, fields?: Readonly<Record<string, LogValue>>): void;
    error(code: string, event: string, fields?: Readonly<Record<string, LogValue>>): void;
}

/** Metrics of an entry; names are listed in docs/METRICS.md. */
export interface Metrics {
    count(name: string, value?: number, tags?: Readonly<Record<string, string>>): void;
    gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
    /** Records a duration in milliseconds. */
    time(name: string, milliseconds: number, tags?: Readonly<Record<string, string>>): void;
}
