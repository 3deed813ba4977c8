/** Test reporter that prints the name and file of each failed test that isn't a todo, as one JSON object a line. */
export default async function* failedTests(source) {
  for await (const { type, data } of source) {
    const isTest = data?.details?.type !== 'suite' && data?.todo === undefined;
    if (type === 'test:fail' && isTest) {
      yield `${JSON.stringify({ name: data.name, file: data.file })}\n`;
    }
  }
}
