/** All routes of the HTTP interface. A test checks that docs/openapi.json documents them. */
import { ADMIN_ROUTES } from "./admin-routes.js";
import type { Route } from "./exchange.js";
import { HEALTH_ROUTES } from "./health-routes.js";
import { JOB_ROUTES } from "./job-routes.js";
import { SERVICE_ROUTES } from "./service-routes.js";

export const ROUTES: readonly Route[] = [...HEALTH_ROUTES, ...SERVICE_ROUTES, ...JOB_ROUTES, ...ADMIN_ROUTES];
