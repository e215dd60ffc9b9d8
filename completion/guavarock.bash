# Bash completion of guavarock and guavarockd: commands, long options and
# file names. tests/completion.sh compares the lists with --help.

# Prints the words that may follow the command WORDS.
_guavarock_words() {
    case $* in
    "") echo job request teams limits key vm worker endpoint evacuation \
        audit usage status bench ;;
    job) echo submit show list cancel ;;
    teams) echo get set show ;;
    limits) echo get set ;;
    key) echo give withdraw list ;;
    vm) echo list drain ;;
    evacuation) echo request withdraw list audit ;;
    worker | endpoint) echo list ;;
    esac
}

# Prints the long options of the command WORDS; = marks an argument.
_guavarock_options() {
    case $* in
    "") echo --json --key-file= --key= --server= --timeout-ms= ;;
    "job submit") echo --accelerators= --class= --cpu-milli= --file= \
        --memory-mib= --tasks= --non-idempotent --payload= --queue= \
        --run-time-s= --urgent --wait ;;
    "job show") echo --wait ;;
    "job cancel") echo --prefix= ;;
    request) echo --data= --header= --idempotency-key= --method= ;;
    "teams set" | "limits set") echo --idempotency-key= --version= ;;
    "key give") echo --kind= --team= ;;
    audit) echo --after= --last= ;;
    usage) echo --month= --svg= ;;
    bench) echo --concurrency= --seconds= --jobs --rate= --tasks= ;;
    esac
    echo --help --usage --version
}

# Splits the line at blanks only, since COMP_WORDS also splits URLs and
# --option=value. Sets words, without the program, and cur.
_guavarock_split() {
    local line=${COMP_LINE:0:COMP_POINT}
    read -ra words <<<"$line"
    cur=""
    if [[ $line != *[[:blank:]] ]]; then
        cur=${words[-1]}
        unset "words[-1]"
    fi
    words=("${words[@]:1}")
}

# Offers OPTIONS that begin with cur.
_guavarock_offer_options() {
    mapfile -t COMPREPLY < <(compgen -W "$1" -- "$cur")
    [[ ${#COMPREPLY[@]} -eq 1 && ${COMPREPLY[0]} == *= ]] &&
        compopt -o nospace 2>/dev/null
    return 0
}

_guavarock() {
    local words cur command=() choices previous="" i
    _guavarock_split
    [[ ${#words[@]} -gt 0 ]] && previous=${words[-1]}
    for ((i = 0; i < ${#words[@]}; i++)); do
        case ${words[i]} in
        -s | -k | --server | --key | --key-file | --timeout-ms)
            [[ ${#command[@]} -eq 0 ]] && i=$((i + 1))
            ;;
        -*) ;;
        *)
            [[ -z $(_guavarock_words "${command[@]}") ]] && break
            command+=("${words[i]}")
            ;;
        esac
    done
    COMPREPLY=()
    choices=$(_guavarock_words "${command[@]}")
    case $cur in
    --*=*) compopt -o default 2>/dev/null ;;
    -*) _guavarock_offer_options "$(_guavarock_options "${command[@]}")" ;;
    *)
        case $previous in
        --file | -f | --key-file | --svg | -S)
            compopt -o default 2>/dev/null
            return
            ;;
        -s | -k | --server | --key | --timeout-ms)
            [[ ${#command[@]} -eq 0 ]] && return
            ;;
        esac
        case ${command[*]} in
        "teams set" | "limits set") compopt -o default 2>/dev/null ;;
        *) mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$cur") ;;
        esac
        ;;
    esac
    return 0
}

_guavarockd() {
    local words cur
    _guavarock_split
    COMPREPLY=()
    case $cur in
    --*=*) compopt -o default 2>/dev/null ;;
    -*) _guavarock_offer_options "--check= --data= --listen= --platform --single
        --settings= --help --usage --version" ;;
    *) compopt -o default 2>/dev/null ;;
    esac
    return 0
}

complete -F _guavarock guavarock
complete -F _guavarockd guavarockd
