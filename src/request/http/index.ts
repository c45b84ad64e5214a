/** Routes of the HTTP interface and their handlers. */
export { Access, DEFAULT_REQUEST_LIMITS } from "./exchange.js";
export type { Exchange, HttpReply, Identity, RequestLimits, Route, RouteContext } from "./exchange.js";
export { renderJob, renderOutcome } from "./job-view.js";
export {
    buildError,
    buildInvalid,
    buildNotFound,
    buildOutcomeReply,
    JSON_TYPE,
    NOT_RUN_STATUS,
} from "./replies.js";
export type { ErrorBody, Ran } from "./replies.js";
export { ROUTES } from "./route-table.js";
export { decideAccess, TokenTable } from "./tokens.js";
export type { OperatorToken, TokenDecision } from "./tokens.js";
