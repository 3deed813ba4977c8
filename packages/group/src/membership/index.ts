export {
  getActExpiry,
  isMember,
  isSettled,
  mayAct,
  mayCoordinate,
  getSettlingTime,
} from './authority.ts';
export * from './GroupMember.ts';
export {
  findMember,
  parseGroupRecord,
  type GroupRecord,
  type PastEpoch,
  type PastMember,
  type RecordMember,
} from './GroupRecord.ts';
export * from './GroupView.ts';
export * from './parseMessage.ts';
export * from './MemberEffect.ts';
export * from './MemberIdentity.ts';
export * from './MemberInput.ts';
export * from './MembershipMessage.ts';
export * from './MembershipSettings.ts';
export { initialState, type MemberState } from './MemberState.ts';
export * from './chooseCoordinator.ts';
