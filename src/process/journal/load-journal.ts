/** Reads the journal back after a take-over. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import { JobBook } from "../jobs/job-book.js";
import { decodeBook } from "../jobs/snapshot.js";
import type { StoreAnswer, StorePort, StoreRecord } from "../ports/index.js";
import { CallTimeout } from "../store/call-timeout.js";
import type { Log } from "../telemetry.js";
import { makeSnapshotKey, RECORD_PREFIX, SNAPSHOT_HEAD_KEY, SNAPSHOT_PREFIX } from "./keys.js";
import { decodeJournalRecord, decodeSnapshotHead } from "./records.js";
import type { JournalRecord, SnapshotHead } from "./records.js";

/** The state as the store has it. */
export interface LoadedJournal {
    readonly book: JobBook;
    /** Last record. */
    readonly sequence: number;
    /** Last record that the newest snapshot covers. */
    readonly coveredSequence: number;
    readonly generation: number;
    /** Revisions of all records and snapshot parts, by key. */
    readonly revisions: Map<string, number>;
}

/** What loading needs. */
export interface LoadContext {
    readonly port: StorePort;
    readonly clock: Clock;
    readonly log: Log;
    /** Whether the attempt is no longer wanted. */
    readonly isOver: () => boolean;
}

/**
 * First timeout of a listing: it carries up to a megabyte, also over narrow links. A listing that is given up is begun anew,
 * so too short a time costs more than too long a one.
 */
const LIST_TIMEOUT_MS: Millis = 1_500;
const RETRY_PAUSE_MS: Millis = 50;

/**
 * Loads snapshot and records. Call it once this node's own leader record is written: from then on no earlier leader
 * can add to them.
 * @returns Undefined if the attempt is over.
 */
export async function loadJournal(context: LoadContext): Promise<LoadedJournal | undefined> {
    const [snapshotRecords, records] = await Promise.all([
        listPrefix(context, SNAPSHOT_PREFIX),
        listPrefix(context, RECORD_PREFIX),
    ]);
    return snapshotRecords === undefined || records === undefined ?
        undefined :
        rebuildState(context.log, snapshotRecords, records);
}

/** Lists a prefix, trying again until the store answers. */
async function listPrefix(
    context: LoadContext,
    prefix: string,
): Promise<readonly StoreRecord[] | undefined> {
    const timeout = new CallTimeout(LIST_TIMEOUT_MS);
    while (!context.isOver()) {
        const limit = timeout.get();
        const answer = await context.port.list(prefix, limit);
        if (answer.kind === "done") {
            return answer.value.records;
        }
        reportFailure(context.log, prefix, answer);
        timeout.observeTimeout(answer.kind === "unknown" ? limit : LIST_TIMEOUT_MS / 2);
        await sleep(context.clock, RETRY_PAUSE_MS);
    }
    return undefined;
}

function reportFailure(log: Log, prefix: string, answer: StoreAnswer<unknown>): void {
    const message = answer.kind === "unavailable" || answer.kind === "unknown" ? answer.message : answer.kind;
    log.warn("CR1602", "journalReadFailed", { prefix, message });
}

function rebuildState(
    log: Log,
    snapshotRecords: readonly StoreRecord[],
    records: readonly StoreRecord[],
): LoadedJournal {
    const values = new Map(snapshotRecords.map(record => [record.key, record.value]));
    const headText = values.get(SNAPSHOT_HEAD_KEY);
    const head: SnapshotHead = headText === undefined ?
        { generation: 0, parts: 0, sequence: 0 } :
        decodeSnapshotHead(headText);
    const parts = Array.from({ length: head.parts }, (...[, part]) => {
        return values.get(makeSnapshotKey(head.generation, part)) ?? "";
    });
    const book = head.parts === 0 ? new JobBook() : decodeBook(parts.join(""));
    const later = selectConnected(
        log,
        head,
        records.map(record => decodeJournalRecord(record.value)),
    );
    for (const record of later) {
        record.events.forEach(event => book.apply(event));
    }
    return {
        book,
        sequence: later.at(-1)?.sequence ?? head.sequence,
        coveredSequence: head.sequence,
        generation: head.generation,
        revisions: new Map([...snapshotRecords, ...records].map(record => [record.key, record.revision])),
    };
}

/**
 * Selects the records that follow the snapshot without a gap.
 *
 * @remarks Records are sent several at a time, so a leader that died may have left some beyond one that was never
 * written. No effect of those was let out, and they are dropped. A later leader writes from the gap on; what still
 * stands beyond its own last record has a lower epoch and is no continuation of it, nor of a snapshot that it wrote:
 * all records after that one are its own or a later leader's.
 */
function selectConnected(
    log: Log,
    { sequence: covered, epoch: snapshotEpoch = 0 }: SnapshotHead,
    records: readonly JournalRecord[],
): readonly JournalRecord[] {
    const later = records
        .filter(record => record.sequence > covered)
        .sort((left, right) => left.sequence - right.sequence);
    const connected: JournalRecord[] = [];
    for (const record of later) {
        const last = connected.at(-1);
        const follows = record.sequence === (last?.sequence ?? covered) + 1;
        if (!follows || record.epoch < (last?.epoch ?? snapshotEpoch)) {
            break;
        }
        connected.push(record);
    }
    if (connected.length < later.length) {
        const dropped = later.length - connected.length;
        log.warn("CR1603", "journalTailDropped", { after: connected.at(-1)?.sequence ?? covered, dropped });
    }
    return connected;
}
