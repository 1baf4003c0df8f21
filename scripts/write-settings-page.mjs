// Writes docs/settings.md from the definitions of the settings; needs a build.
import { writeFileSync } from 'node:fs';

import { settingsPage } from '../packages/daemon/dist/src/index.js';

writeFileSync(new URL('../docs/settings.md', import.meta.url), settingsPage());
