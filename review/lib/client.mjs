/** Clients of the entries: they retry at other entries after a refusal or no answer, as PROTOCOL.md says. */
import { callHttp } from "./http.mjs";
import { sleep } from "./record.mjs";

const TIMEOUT_MS = 3_000;
const RETRY_MS = 200;
const ATTEMPTS = 5;

/** A client of one queue. */
export class Client {
    next = 0;

    constructor({ nodes, host, prefix, recorder }) {
        Object.assign(this, { nodes, host, prefix, recorder });
    }

    async call(method, id, body) {
        const node = this.nodes[this.next % this.nodes.length];
        this.next += 1;
        const answer = await callHttp({
            port: node.front,
            method,
            path: `${this.prefix}${id}`,
            headers: { host: this.host, "x-timeout-ms": String(TIMEOUT_MS) },
            body,
            timeoutMs: TIMEOUT_MS,
        });
        const shown = answer.status === undefined ? answer.message : `${answer.status} ${JSON.stringify(answer.body)}`;
        this.recorder.write("client", `${method} ${id} to ${node.name}: ${shown}`);
        return answer;
    }

    /** Hands a job in; returns whether it was accepted. */
    async submit(id, job) {
        for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
            const { status } = await this.call("POST", id, job);
            if (status >= 200 && status < 300) {
                return true;
            }
            await sleep(RETRY_MS);
        }
        return false;
    }

    /** Asks for a job's state; returns it, `410` if there is no such job, or undefined without an answer. */
    async show(id) {
        for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
            const { status, body } = await this.call("GET", id);
            if (status === 200) {
                return body?.state;
            }
            if (status === 410) {
                return "410";
            }
            await sleep(RETRY_MS);
        }
        return undefined;
    }
}
