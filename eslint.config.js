import * as tseslint from "typescript-eslint";

const nullLiteral = {
    selector: "Literal[raw='null']",
    message: "Use undefined. An outside format that needs null belongs in its codec, with a disable comment.",
};
const namespaceImports = [
    { selector: "ImportSpecifier", message: "Use a namespace import." },
    { selector: "ImportDefaultSpecifier", message: "Use a namespace import." },
];
const stringErrors = {
    selector: "ThrowStatement > NewExpression[callee.name='Error']",
    message: "Throw a typed failure (core/failure.ts) instead of a bare Error.",
};
const ambientTime = [
    {
        selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']",
        message: "Take the present time as an argument; only src/clock reads it.",
    },
    {
        selector: "CallExpression[callee.object.name='performance'][callee.property.name='now']",
        message: "Take the present time as an argument; only src/clock reads it.",
    },
    {
        selector: "CallExpression[callee.object.name='Math'][callee.property.name='random']",
        message: "Take randomness as an argument; only src/clock provides it.",
    },
    {
        selector: "NewExpression[callee.name='Date'][arguments.length=0]",
        message: "Take the present time as an argument.",
    },
];

export default tseslint.config(
    { ignores: ["dist/**", "node_modules/**", "src/rpc/gen/**"] },
    {
        files: ["**/*.ts"],
        extends: [tseslint.configs.base],
        languageOptions: {
            parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
        },
        linterOptions: { reportUnusedDisableDirectives: "error" },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-var": "error",
            "prefer-const": "error",
            "no-restricted-syntax": ["error", nullLiteral, ...namespaceImports, stringErrors, ...ambientTime],
            "@typescript-eslint/no-floating-promises": ["error", {
                allowForKnownSafeCalls: [{
                    from: "package",
                    package: "node:test",
                    name: ["test", "describe", "suite", "it"],
                }],
            }],
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-explicit-any": "error",
            "@typescript-eslint/consistent-type-imports": ["error", { disallowTypeAnnotations: false }],
            "@typescript-eslint/prefer-readonly": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "@typescript-eslint/naming-convention": [
                "error",
                {
                    selector: "typeLike",
                    format: ["PascalCase"],
                    custom: { regex: "^I[A-Z][a-z]|(Type|Impl|Interface|Info)$", match: false },
                },
                { selector: "function", format: ["camelCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
            ],
        },
    },
    {
        files: ["src/**/*.ts", "platform/**/*.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [{
                    group: ["**/stand-ins/**", "**/tools/**", "**/test/**"],
                    message: "The product does not import its test environment.",
                }],
            }],
        },
    },
    {
        files: ["src/clock/**/*.ts", "test/**/*.ts", "tools/**/*.ts", "stand-ins/**/*.ts"],
        rules: {
            "no-restricted-syntax": ["error", nullLiteral, ...namespaceImports],
        },
    },
);
