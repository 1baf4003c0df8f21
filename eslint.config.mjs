import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

const clockAndRandomGlobals = [
  'setTimeout',
  'setInterval',
  'setImmediate',
  'queueMicrotask',
  'performance',
  'process',
  'fetch',
  'crypto',
  'console',
].map((name) => ({
  name,
  message: 'The core takes time and randomness as arguments and does no I/O.',
}));

/** Lower layers may not import higher ones: every dependency points towards the core. */
const allowedDependencies = {
  'build-identity': [],
  core: [],
  'mesh-core': ['core'],
  language: ['core'],
  nodes: ['core', 'mesh-core'],
  'http-server': ['mesh-core'],
  callers: ['core', 'mesh-core', 'http-server'],
  upstreams: ['core', 'mesh-core', 'http-server'],
  platform: ['core', 'mesh-core'],
  operators: ['core', 'language', 'mesh-core', 'http-server'],
  daemon: [
    'build-identity',
    'core',
    'mesh-core',
    'http-server',
    'nodes',
    'callers',
    'upstreams',
    'platform',
    'operators',
    'language',
  ],
  ctl: ['build-identity', 'language'],
  'stand-ins': ['core'],
  'virtual-time': ['core', 'mesh-core', 'nodes', 'operators'],
  measure: ['mesh-core', 'nodes', 'stand-ins'],
};

const packageNames = Object.keys(allowedDependencies);

function dependencyRule(name) {
  const forbidden = packageNames.filter(
    (other) => other !== name && !allowedDependencies[name].includes(other),
  );
  return {
    files: [`packages/${name}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: forbidden.map((other) => ({
            name: `@peridotspring/${other}`,
            message: `The package ${name} may not depend on ${other}; dependencies point towards the core.`,
          })),
          patterns: [
            ...forbidden.map((other) => ({
              group: [`@peridotspring/${other}/*`],
              message: `The package ${name} may not depend on ${other}; dependencies point towards the core.`,
            })),
            ...(name === 'core' || name === 'mesh-core'
              ? [{ group: ['node:*'], message: 'The core does no I/O and has no Node.js imports.' }]
              : []),
          ],
        },
      ],
    },
  };
}

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', '.cache/**', 'results/**', 'target/**'] },
  eslint.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.' },
      ],
    },
  },
  ...packageNames.map(dependencyRule),
  {
    files: ['packages/core/src/**/*.ts', 'packages/mesh-core/src/**/*.ts'],
    rules: {
      'no-restricted-globals': ['error', ...clockAndRandomGlobals],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'The core takes the time as an argument.' },
        { object: 'Math', property: 'random', message: 'The core takes a seeded random source.' },
      ],
    },
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      globals: { __dirname: 'readonly', process: 'readonly', require: 'readonly' },
    },
  },
  {
    files: ['**/*.mjs'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        clearTimeout: 'readonly',
        setTimeout: 'readonly',
        URL: 'readonly',
        fetch: 'readonly',
      },
    },
  },
);
