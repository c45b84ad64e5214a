/** Writes the generated pages: `npm run docs`. */
import { writeFileSync } from "node:fs";
import { renderPages } from "./pages.js";

for (const [path, text] of renderPages()) {
    writeFileSync(path, text);
}
