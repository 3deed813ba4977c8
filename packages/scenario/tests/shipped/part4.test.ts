import { testShipped } from '../support/shipped.ts';

testShipped(3, 4);
