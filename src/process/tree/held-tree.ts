/** The version of the tree that an entry holds; it only ever rises. */
import {
    buildSettingsVersion,
    DEFAULT_TREE,
    encodeTree,
    parseTree,
    type SettingsVersion,
    type TreeDocument,
} from "../../version/index.js";
import type { Log, Metrics } from "../telemetry.js";

/** A version of the tree with its text as stored. */
export interface TreeVersion {
    readonly document: TreeDocument;
    readonly text: string;
    readonly settings: SettingsVersion;
}

/** Keeps the highest version seen and tells of each change. */
export class HeldTree {
    private held: TreeVersion | undefined;
    /** Revision of the store's record when last seen; 0 while it is absent. */
    private revision = 0;
    private readonly listeners: ((settings: SettingsVersion) => void)[] = [];

    /**
     * @param log - Told of each version.
     * @param metrics - Given the version as `tree.version`.
     */
    constructor(private readonly log: Log, private readonly metrics: Metrics) {}

    /** The version held, or undefined before the first. */
    get(): TreeVersion | undefined {
        return this.held;
    }

    /** Revision that the next compare-and-swap names. */
    getRevision(): number {
        return this.revision;
    }

    /** Calls back after each change of version. */
    subscribe(listener: (settings: SettingsVersion) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Takes a record as another party saw it in the store.
     * @param text - The stored text.
     * @param revision - The record's revision.
     * @param source - Where it came from, for the log.
     * @returns Whether the text can be read.
     */
    accept(text: string, revision: number, source: string): boolean {
        this.revision = Math.max(this.revision, revision);
        if (this.held?.text === text) {
            return true;
        }
        const parsed = parseTree(text);
        if (parsed.kind === "faults") {
            const [fault] = parsed.faults;
            this.log.error("CR1201", "settings tree refused, the version before stays in force", {
                source,
                path: fault?.path,
                found: fault?.found,
                remedy: fault?.remedy,
                version: this.held?.document.version,
            });
            return false;
        }
        this.replace({ document: parsed.value, text }, source);
        return true;
    }

    /**
     * Notes that the store has no record: a new cell, or a record that somebody deleted.
     * @param revision - The revision at which it was absent.
     */
    acceptAbsence(revision: number): void {
        if (revision >= this.revision) {
            this.revision = 0;
        }
        if (this.held === undefined) {
            this.replace({ document: DEFAULT_TREE, text: encodeTree(DEFAULT_TREE) }, "default");
        }
        else if (this.held.document.version > 0) {
            this.logOlder("nothing");
        }
    }

    private replace(next: Pick<TreeVersion, "document" | "text">, source: string): void {
        const { version } = next.document;
        // Versions never fall: a record restored from a backup would take back edits that were accepted.
        if (this.held !== undefined && version <= this.held.document.version) {
            if (version < this.held.document.version && source !== "peer") {
                this.logOlder(`version ${version}`);
            }
            return;
        }
        const settings = buildSettingsVersion(next.document);
        this.held = { ...next, settings };
        this.log.info("settings in force", { version, source });
        this.metrics.gauge("tree.version", version);
        this.listeners.forEach(listener => listener(settings));
    }

    private logOlder(found: string): void {
        this.log.error("CR1202", "the store's settings tree is older than the one in force, which stays", {
            found,
            version: this.held?.document.version,
            remedy: "make an edit: it is written on top of the version in force",
        });
    }
}
