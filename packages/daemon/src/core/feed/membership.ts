import { z } from 'zod'
import type { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import type { FleetMember } from '@cowsliplead/core/types/fleetMember.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { FleetRecordConsumer } from '../control/fleetTable.js'
import type { Journal } from '../operators/journal.js'

/** Group of the keys of members in the fleet's table. */
export const MEMBERS_GROUP = 'member'

const RETRY_MS: Milliseconds = 2000

const RECORD = z.object({ feedAddress: z.string().refine(address => URL.canParse(`ws://${address}`)) })

/** What membership needs. */
export interface MembershipOptions {
  readonly store: ControlStore
  readonly members: FleetMembers
  /** This VM, as it announces itself. */
  readonly own: () => FleetMember
  readonly journal: Journal
  /** The members changed. */
  readonly onChange: () => void
}

/**
 * Announces this VM in the store and follows the announcements of the others. A VM that starts again finds its record
 * and writes nothing; the record of one that has left is removed by whoever could not reach it.
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
    this.takeAll(records)
  }

  onChanges (records: readonly TableRecord[]): void {
    this.takeAll(records)
  }

  /** Removes the record of a VM that has left. One that is up after all announces itself again. */
  remove (vmId: string): void {
    const { store, journal } = this.options
    journal.info('member removed, as it could not be reached', { member: vmId })
    void store.put('fleet', [{ key: keyOf(vmId), value: undefined }]).then(result => {
      if (result.isErr) journal.warn('member was not removed', { member: vmId, failure: result.error })
    })
  }

  private takeAll (records: readonly TableRecord[]): void {
    for (const record of records) this.take(record)
    if (!this.isAnnounced()) void this.announce()
    this.options.onChange()
  }

  private take ({ key, value }: TableRecord): void {
    const { members, journal } = this.options
    const vmId = vmIdOf(key)
    if (value === undefined) return members.remove(vmId)
    const record = RECORD.safeParse(parseJson(value.toString('utf8'))).data
    if (record === undefined) return void journal.warn('member record cannot be read', { key })
    members.put({ vmId, feedAddress: record.feedAddress })
  }

  /** Writes this VM's record, until the write shows in the table. */
  private async announce (): Promise<void> {
    if (this.timer !== undefined || this.isClosed) return
    const { store, own, journal } = this.options
    const { vmId, feedAddress } = own()
    this.timer = setTimeout(() => this.announceAgain(), RETRY_MS)
    const result = await store.put('fleet', [{ key: keyOf(vmId), value: Buffer.from(JSON.stringify({ feedAddress })) }])
    if (result.isErr) journal.warn('this VM was not announced', { failure: result.error })
  }

  private announceAgain (): void {
    this.timer = undefined
    if (!this.isAnnounced()) void this.announce()
  }

  /** Whether the table has this VM with its present address. */
  private isAnnounced (): boolean {
    const { members, own } = this.options
    const { vmId, feedAddress } = own()
    return members.get(vmId)?.feedAddress === feedAddress
  }
}

function keyOf (vmId: string): string {
  return `${MEMBERS_GROUP}/${vmId}`
}

function vmIdOf (key: string): string {
  return key.slice(MEMBERS_GROUP.length + 1)
}
