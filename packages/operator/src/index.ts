export * from './declarations/DeclarationError.ts';
export * from './declarations/checkReferences.ts';
export * from './declarations/limits.ts';
export * from './declarations/parseDeclarations.ts';
export * from './declarations/routingConfigOf.ts';
