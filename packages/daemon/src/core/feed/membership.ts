import { z } from 'zod'
import type { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import type { FleetMember } from '@cowsliplead/core/types/fleetMember.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { FleetRecordConsumer } from '../control/fleetTable.js'
import type { Logger } from '../operators/logger.js'

/** Key group of member records in the fleet table. */
export const MEMBERS_GROUP = 'member'

const RETRY_MS: Milliseconds = 2000

const RECORD = z.object({
  feedAddress: z.string().refine(address => URL.canParse(`ws://${address}`)),
  peerAddress: z.string().refine(address => URL.canParse(`http://${address}`)).optional(),
  failureDomain: z.string().default('')
})

type MemberRecord = z.infer<typeof RECORD>

/** Options of membership. */
export interface MembershipOptions {
  readonly store: ControlStore
  readonly members: FleetMembers
  /** This VM as it has to appear in the table. */
  readonly ownMember: () => FleetMember
  readonly logger: Logger
  /** Called when the members may have changed. */
  readonly onChange: () => void
}

/**
 * Announces this VM in the store and keeps track of the other members. A restarted VM that finds its record writes
 * nothing; the record of a VM that has left is removed by a VM that could not reach it.
 */
export class Membership implements FleetRecordConsumer {
  private timer: NodeJS.Timeout | undefined
  private isClosed = false

  private constructor (private readonly options: MembershipOptions) {}

  static create (options: MembershipOptions): Membership {
    return new Membership(options)
  }

  close (): void {
    this.isClosed = true
    clearTimeout(this.timer)
  }

  onSnapshot (records: readonly TableRecord[]): void {
    const { members } = this.options
    members.retain(new Set(records.map(({ key }) => vmIdOf(key))))
    this.applyRecords(records)
  }

  onChanges (records: readonly TableRecord[]): void {
    this.applyRecords(records)
  }

  /** Removes the record of a VM that is considered to have left. If it is still up, it announces itself again. */
  remove (vmId: string): void {
    const { store, logger } = this.options
    logger.info('removing unreachable member', { member: vmId })
    void store.put('fleet', [{ key: keyOf(vmId), value: undefined }]).then(result => {
      if (result.isErr) logger.warn('removal of a member failed', { member: vmId, failure: result.error })
    })
  }

  private applyRecords (records: readonly TableRecord[]): void {
    for (const record of records) this.applyRecord(record)
    if (!this.isAnnounced()) void this.announce()
    this.options.onChange()
  }

  private applyRecord ({ key, value }: TableRecord): void {
    const { members, logger } = this.options
    const vmId = vmIdOf(key)
    if (value === undefined) return members.remove(vmId)
    const record = RECORD.safeParse(parseJson(value.toString('utf8'))).data
    if (record === undefined) return void logger.warn('member record cannot be read', { key })
    members.put({ vmId, ...record })
  }

  /** Writes this VM's record; retries until the table contains it. */
  private async announce (): Promise<void> {
    if (this.timer !== undefined || this.isClosed) return
    const { store, ownMember, logger } = this.options
    const { vmId, ...record } = ownMember()
    this.timer = setTimeout(() => this.retryAnnouncement(), RETRY_MS)
    const result = await store.put('fleet', [{ key: keyOf(vmId), value: encodeRecord(record) }])
    if (result.isErr) logger.warn('announcement of this VM failed', { failure: result.error })
  }

  private retryAnnouncement (): void {
    this.timer = undefined
    if (!this.isAnnounced()) void this.announce()
  }

  /** Whether the table contains this VM as it is now. */
  private isAnnounced (): boolean {
    const { members, ownMember } = this.options
    const { vmId, feedAddress, peerAddress, failureDomain } = ownMember()
    const known = members.get(vmId)
    return known?.feedAddress === feedAddress && known.peerAddress === peerAddress && known.failureDomain === failureDomain
  }
}

function encodeRecord (record: MemberRecord): Buffer {
  return Buffer.from(JSON.stringify(record))
}

function keyOf (vmId: string): string {
  return `${MEMBERS_GROUP}/${vmId}`
}

function vmIdOf (key: string): string {
  return key.slice(MEMBERS_GROUP.length + 1)
}
