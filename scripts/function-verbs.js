/**
 * ESLint rule: the name of a function or method must begin with a verb of `docs/verbs.json`.
 *
 * @remarks Readers search for code by its verb; a second verb for the same action would hide it from them.
 */
import { readFileSync } from "node:fs";

const { verbs } = JSON.parse(readFileSync(new URL("../docs/verbs.json", import.meta.url), "utf8"));
const allowed = new Set(Object.keys(verbs));
/** Names required by the clock type and by Node's interfaces. */
const givenNames = new Set(["now", "wallNow", "toString", "toJSON", "execute"]);

function getFirstWord(name) {
    return /^[a-z]+/.exec(name)?.[0];
}

export const functionVerbs = {
    meta: {
        type: "suggestion",
        schema: [],
        messages: {
            verb:
                "'{{name}}' does not begin with a verb of docs/verbs.json: use one of the list, or add the verb there with its meaning",
        },
    },
    create(context) {
        function check(node, name) {
            if (name !== undefined && !givenNames.has(name) && !allowed.has(getFirstWord(name))) {
                context.report({ node, messageId: "verb", data: { name } });
            }
        }
        return {
            FunctionDeclaration(node) {
                check(node, node.id?.name);
            },
            MethodDefinition(node) {
                if (node.kind === "method" && !node.override && node.key.type === "Identifier") {
                    check(node, node.key.name);
                }
            },
        };
    },
};
