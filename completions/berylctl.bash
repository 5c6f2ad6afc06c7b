# bash completion for berylctl
_berylctl () {
  local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
  local commands='apply delete describe diff drain explain get status top
    validate watch'
  local kinds='service pool model organisation urgency endpoint system'
  local options='--entry --force --help --log --output --platform --timeout
    --version --whole'
  case $prev in
    -l | --log) COMPREPLY=($(compgen -f -- "$cur")) ;;
    -o | --output) COMPREPLY=($(compgen -W 'table json yaml' -- "$cur")) ;;
    get | describe | delete | watch)
      COMPREPLY=($(compgen -W "$kinds" -- "$cur")) ;;
    apply | diff | validate) COMPREPLY=($(compgen -f -- "$cur")) ;;
    *)
      case $cur in
        -*) COMPREPLY=($(compgen -W "$options" -- "$cur")) ;;
        *) COMPREPLY=($(compgen -W "$commands" -- "$cur")
             $(compgen -f -- "$cur")) ;;
      esac ;;
  esac
}
complete -F _berylctl berylctl
