import { testShipped } from '../support/shipped.ts';

testShipped(2, 4);
