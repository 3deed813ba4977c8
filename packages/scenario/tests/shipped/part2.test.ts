import { testShipped } from '../support/shipped.ts';

testShipped(1, 4);
