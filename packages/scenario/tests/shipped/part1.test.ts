import { testShipped } from '../support/shipped.ts';

testShipped(0, 4);
