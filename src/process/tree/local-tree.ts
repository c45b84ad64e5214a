/** The settings tree that an entry uses. Its version never decreases. */
import {
    buildSettingsVersion,
    DEFAULT_TREE,
    encodeTree,
    parseTree,
    type SettingsVersion,
    type TreeDocument,
} from "../../version/index.js";
import type { Log, Metrics } from "../telemetry.js";

/** A version of the tree, with its text as stored and the settings built from it. */
export interface TreeVersion {
    readonly document: TreeDocument;
    readonly text: string;
    readonly settings: SettingsVersion;
}

/** Keeps the highest version seen and notifies subscribers of each change. */
export class LocalTree {
    private current: TreeVersion | undefined;
    /** Last seen revision of the store's record; 0 while it is absent. */
    private revision = 0;
    private readonly listeners: ((settings: SettingsVersion) => void)[] = [];

    /** @param metrics - Receives the version as gauge `tree.version`. */
    constructor(private readonly log: Log, private readonly metrics: Metrics) {}

    /** Returns the current version; undefined before the first. */
    get(): TreeVersion | undefined {
        return this.current;
    }

    /** Returns the revision that the next compare-and-swap must expect. */
    getRevision(): number {
        return this.revision;
    }

    /** Registers a listener that is called after each change of the version. */
    subscribe(listener: (settings: SettingsVersion) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Accepts a record of the store, read here or received from a peer. Older versions are ignored.
     * @param source - Origin of the record, for the log; from a `peer`, an older version is not reported.
     * @returns Whether the text can be parsed.
     */
    accept(text: string, revision: number, source: string): boolean {
        this.revision = Math.max(this.revision, revision);
        if (this.current?.text === text) {
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
                version: this.current?.document.version,
            });
            return false;
        }
        this.replace({ document: parsed.value, text }, source);
        return true;
    }

    /**
     * Records that the store has no tree, because the cell is new or the record was deleted.
     * @param revision - Revision of the store at which the record was absent.
     */
    acceptAbsence(revision: number): void {
        if (revision >= this.revision) {
            this.revision = 0;
        }
        if (this.current === undefined) {
            this.replace({ document: DEFAULT_TREE, text: encodeTree(DEFAULT_TREE) }, "default");
        }
        else if (this.current.document.version > 0) {
            this.logOlderTree("nothing");
        }
    }

    private replace(next: Pick<TreeVersion, "document" | "text">, source: string): void {
        const { version } = next.document;
        // The version never decreases: a record restored from a backup would revert accepted edits.
        if (this.current !== undefined && version <= this.current.document.version) {
            if (version < this.current.document.version && source !== "peer") {
                this.logOlderTree(`version ${version}`);
            }
            return;
        }
        const settings = buildSettingsVersion(next.document);
        this.current = { ...next, settings };
        this.log.info("settings in force", { version, source });
        this.metrics.gauge("tree.version", version);
        this.listeners.forEach(listener => listener(settings));
    }

    private logOlderTree(found: string): void {
        this.log.error("CR1202", "the store's settings tree is older than the one in force, which stays", {
            found,
            version: this.current?.document.version,
            remedy: "make an edit: it is written on top of the version in force",
        });
    }
}
